/**
 * Implementations of the interfaces in {@link org.redwingramp.core.routing}.
 */
package org.redwingramp.core.routing.internal;
