/**
 * Replicated state of a fleet and its management on the control leader: configuration,
 * failure domains, targets, key owners, and the views that entry instances route by.
 * Operators change the configuration by replacing it as a whole.
 */
package org.redwingramp.core.fleet;
