/**
 * The replicated control state, the leader's decisions and an entry instance's session.
 */
package org.redwingramp.core.control;
