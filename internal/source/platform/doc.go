// Package platform is the source that follows the platform's discovery service.
package platform
