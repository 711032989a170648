/**
 * A stand-in target that checks the grants, fences and leases of what it is sent, keeps a
 * journal of its runs and answers wrongly on demand.
 */
package org.redwingramp.bench.standin;
