/**
 * The processes of a fleet that is steered by whole configurations: entry instances that
 * send requests straight to targets, and control replicas.
 */
package org.redwingramp.node;
