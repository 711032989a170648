/**
 * Randomised simulations of the consensus and control libraries under faults. The seed
 * determines a run.
 */
package org.redwingramp.bench.soak;
