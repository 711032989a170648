/**
 * Implementations of the routing decisions.
 */
package org.redwingramp.core.routing.internal;
