/**
 * HTTP handlers for callers, targets, operators and health checks.
 */
package org.redwingramp.daemon.internal.http;
