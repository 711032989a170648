/**
 * Decides which target owns which shard.
 */
package org.redwingramp.core.placement;
