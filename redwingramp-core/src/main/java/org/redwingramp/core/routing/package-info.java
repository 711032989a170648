/**
 * Admission, limits, ramp, straggler detection and choice of target.
 */
package org.redwingramp.core.routing;
