/**
 * The redwingrampd daemon, as a process and embedded in another one.
 */
package org.redwingramp.daemon;
