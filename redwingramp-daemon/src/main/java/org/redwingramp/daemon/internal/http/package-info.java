/**
 * HTTP servers for callers, targets and operators.
 */
package org.redwingramp.daemon.internal.http;
