/**
 * The traffic configuration: which requests exist, which services they go to and how.
 */
package org.redwingramp.core.traffic;
