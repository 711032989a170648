/**
 * Messages between the processes of a fleet.
 */
package org.redwingramp.node.link;
