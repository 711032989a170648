/**
 * Dispatch decisions of an entry instance that sends requests directly to targets: load
 * estimation, admission control and rate limiting of cold targets.
 */
package org.redwingramp.core.dispatch;
