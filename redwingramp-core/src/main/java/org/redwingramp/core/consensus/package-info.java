/**
 * A replicated log based on the Raft consensus algorithm. A replica is a deterministic
 * state machine: the caller passes in events and carries out the returned effects.
 */
package org.redwingramp.core.consensus;
