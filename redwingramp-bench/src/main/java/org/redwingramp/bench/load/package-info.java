/**
 * A load generator that checks every response, and the comparison of the recorded
 * outcomes with the journals of the stand-in targets.
 */
package org.redwingramp.bench.load;
