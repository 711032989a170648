/**
 * The entry role: session with the control group, view and grants.
 */
package org.redwingramp.daemon.internal.entry;
