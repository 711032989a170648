/**
 * The control role: replicated log, state machine and the leader's duties.
 */
package org.redwingramp.daemon.internal.control;
