/**
 * Structured log lines.
 */
package org.redwingramp.node.events;
