/**
 * Requests to the targets that this instance is the gate of.
 */
package org.redwingramp.daemon.internal.gate;
