/**
 * A stand-in for the targets of a deployment.
 */
package org.redwingramp.bench.target;
