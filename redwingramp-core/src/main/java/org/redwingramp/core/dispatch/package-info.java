/**
 * Whether and where an entry instance that sends straight to targets sends a request.
 */
package org.redwingramp.core.dispatch;
