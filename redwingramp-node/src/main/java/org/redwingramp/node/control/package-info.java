/**
 * A control replica of a fleet.
 */
package org.redwingramp.node.control;
