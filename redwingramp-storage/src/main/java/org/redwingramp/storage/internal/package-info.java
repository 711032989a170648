/**
 * File formats and file access of the durable storage.
 */
package org.redwingramp.storage.internal;
