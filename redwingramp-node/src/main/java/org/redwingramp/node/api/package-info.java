/**
 * The interface that a platform adapter implements, and the types that it exchanges with
 * the router. It hides the names and message formats of the platform.
 */
package org.redwingramp.node.api;
