/**
 * Durable state of a control replica.
 */
package org.redwingramp.storage;
