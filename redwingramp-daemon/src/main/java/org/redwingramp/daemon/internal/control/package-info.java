/**
 * The control role: replicated log, state machine, the leader's controller, and the
 * client by which other roles call the leader.
 */
package org.redwingramp.daemon.internal.control;
