/**
 * Metrics and their text form.
 */
package org.redwingramp.daemon.internal.metrics;
