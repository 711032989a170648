/**
 * The replicated state of a fleet that is steered by whole configurations: configuration,
 * failure domains, targets and the owners of keys.
 */
package org.redwingramp.core.fleet;
