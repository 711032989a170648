/**
 * A non-blocking HTTP/1.1 server and client on the event loop, with Jetty's HTTP parser.
 */
package org.redwingramp.node.http;
