/**
 * The processes of a fleet: entry instances, which forward requests directly to targets,
 * and control replicas, which manage the fleet. A configuration is always replaced as a
 * whole.
 */
package org.redwingramp.node;
