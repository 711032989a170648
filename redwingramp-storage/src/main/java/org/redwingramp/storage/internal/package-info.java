/**
 * File formats, recovery and file access of the durable storage.
 */
package org.redwingramp.storage.internal;
