/**
 * How memory, time and bytes of the control state and of entry instances grow with size.
 */
package org.redwingramp.bench.slopes;
