/**
 * Transport between daemons.
 */
package org.redwingramp.wire;
