/**
 * Start, wiring and stop of the daemon.
 */
package org.redwingramp.daemon.internal.runtime;
