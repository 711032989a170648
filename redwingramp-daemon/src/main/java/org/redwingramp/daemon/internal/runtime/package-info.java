/**
 * Command line, dependency injection, start and stop of the daemon.
 */
package org.redwingramp.daemon.internal.runtime;
