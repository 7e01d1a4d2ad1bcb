/** Writing of the configuration to the key-value service and watching of its head. */
package org.cranberrybend.controller.configuration;
