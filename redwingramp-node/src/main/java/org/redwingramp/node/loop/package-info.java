/**
 * One thread that waits for sockets and timers and runs everything else.
 */
package org.redwingramp.node.loop;
