/**
 * Stand-in targets, load, randomised runs and measurements.
 */
package org.redwingramp.bench;
