/**
 * A load tool that checks every answer, and the check of its outcomes against the
 * journals of the stand-in targets.
 */
package org.redwingramp.bench.load;
