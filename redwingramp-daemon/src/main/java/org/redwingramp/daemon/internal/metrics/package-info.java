/**
 * Metrics of callers' requests and the Prometheus text format.
 */
package org.redwingramp.daemon.internal.metrics;
