/**
 * Randomised deterministic runs of the decision library under faults.
 */
package org.redwingramp.bench.soak;
