/**
 * The redwingrampd daemon.
 */
package org.redwingramp.daemon;
