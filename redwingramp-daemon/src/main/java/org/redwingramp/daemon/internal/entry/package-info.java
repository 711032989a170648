/**
 * The entry role: the session with the control group, through which an entry instance
 * receives its view, leases and grants.
 */
package org.redwingramp.daemon.internal.entry;
