/**
 * HTTP/1.1 on both sides of the router, on the event loop. Parsing is Jetty's.
 */
package org.redwingramp.node.http;
