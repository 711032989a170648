/**
 * A single-threaded event loop for non-blocking sockets and timers.
 */
package org.redwingramp.node.loop;
