/**
 * Links that carry messages between the processes of a fleet, over TCP.
 */
package org.redwingramp.node.link;
