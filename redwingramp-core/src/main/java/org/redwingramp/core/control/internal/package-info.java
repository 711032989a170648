/**
 * Implementation of the control state, the controller and the entry agent.
 */
package org.redwingramp.core.control.internal;
