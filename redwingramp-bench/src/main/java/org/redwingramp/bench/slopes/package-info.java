/**
 * Measures how memory, time and message sizes of control replicas, entry instances and
 * the transport grow with the size of a deployment.
 */
package org.redwingramp.bench.slopes;
