/**
 * Implementation of the replicated control state, of the leader's controller and of the
 * session of an entry instance.
 */
package org.redwingramp.core.control.internal;
