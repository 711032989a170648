/**
 * Structured log events and metrics.
 */
package org.redwingramp.node.events;
