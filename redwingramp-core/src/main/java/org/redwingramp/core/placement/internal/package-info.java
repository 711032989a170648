/**
 * Implementations of {@link org.redwingramp.core.placement.PlacementPolicy}.
 */
package org.redwingramp.core.placement.internal;
