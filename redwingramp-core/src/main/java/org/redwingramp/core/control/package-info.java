/**
 * The replicated control state, the controller of the control leader and the agent of an
 * entry instance.
 */
package org.redwingramp.core.control;
