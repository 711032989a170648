/**
 * Placement of shards: decides which target owns each shard of a service.
 */
package org.redwingramp.core.placement;
