/**
 * An entry instance of a fleet: takes requests of callers and sends each straight to a
 * target.
 */
package org.redwingramp.node.entry;
