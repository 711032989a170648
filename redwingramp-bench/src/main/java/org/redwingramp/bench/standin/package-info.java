/**
 * A stand-in target that checks the gate epoch, lease and fence of each request, keeps a
 * journal of the requests that it ran and injects faults into its responses on demand.
 */
package org.redwingramp.bench.standin;
