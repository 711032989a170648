/**
 * A control replica of a fleet: it replicates the fleet's state by consensus and, while
 * it leads, assigns keys to targets and sends the view to the entry instances.
 */
package org.redwingramp.node.control;
