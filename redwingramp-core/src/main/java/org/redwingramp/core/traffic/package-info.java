/**
 * The traffic configuration: services, the routes of requests to them, and limits.
 */
package org.redwingramp.core.traffic;
