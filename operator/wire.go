package operator

import (
	"fmt"

	"tamarackknot.example/tamarackknot"
	operatorv1 "tamarackknot.example/tamarackknot/gen/operator/v1"
)

// FromWire converts a resource of the API. It checks only the structure;
// ledger.Validate checks the values.
func FromWire(in *operatorv1.Resource) (tamarackknot.Resource, error) {
	if in == nil {
		return tamarackknot.Resource{}, fmt.Errorf("resource: missing, a kind, metadata and a spec are required")
	}
	out := tamarackknot.Resource{
		Kind: tamarackknot.Kind(in.GetKind()),
		Metadata: tamarackknot.Metadata{
			Name:     in.GetMetadata().GetName(),
			Revision: tamarackknot.Offset(in.GetMetadata().GetRevision()),
		},
	}
	var kind tamarackknot.Kind
	switch spec := in.GetSpec().(type) {
	case *operatorv1.Resource_Deployment:
		kind, out.Deployment = tamarackknot.KindDeployment, deploymentFromWire(spec.Deployment)
	case *operatorv1.Resource_Model:
		kind, out.Model = tamarackknot.KindModel, modelFromWire(spec.Model)
	case *operatorv1.Resource_Adapter:
		kind, out.Adapter = tamarackknot.KindAdapter, adapterFromWire(spec.Adapter)
	case *operatorv1.Resource_Service:
		kind, out.Service = tamarackknot.KindService, serviceFromWire(spec.Service)
	case *operatorv1.Resource_Endpoint:
		kind, out.Endpoint = tamarackknot.KindEndpoint, endpointFromWire(spec.Endpoint)
	default:
		return out, fmt.Errorf("spec: missing in resource %q of kind %q", out.Metadata.Name, out.Kind)
	}
	if out.Kind != kind {
		return out, fmt.Errorf("kind: %q does not match the spec, which is of kind %q", out.Kind, kind)
	}
	return out, nil
}

func deploymentFromWire(in *operatorv1.DeploymentSpec) *tamarackknot.DeploymentSpec {
	return &tamarackknot.DeploymentSpec{
		Priority:        int(in.GetPriority()),
		ColdStartWeight: in.GetColdStartWeight(),
		LoadsPerSecond:  in.GetLoadsPerSecond(),
		LoadsAtOnce:     int(in.GetLoadsAtOnce()),
	}
}

func modelFromWire(in *operatorv1.ModelSpec) *tamarackknot.ModelSpec {
	return &tamarackknot.ModelSpec{
		Deployment:  in.GetDeployment(),
		Version:     in.GetVersion(),
		MemoryMB:    in.GetMemoryMb(),
		MaxReplicas: int(in.GetMaxReplicas()),
		Priority:    int(in.GetPriority()),
	}
}

func adapterFromWire(in *operatorv1.AdapterSpec) *tamarackknot.AdapterSpec {
	return &tamarackknot.AdapterSpec{
		Deployment:  in.GetDeployment(),
		Model:       in.GetModel(),
		Version:     in.GetVersion(),
		MemoryMB:    in.GetMemoryMb(),
		MaxReplicas: int(in.GetMaxReplicas()),
	}
}

func serviceFromWire(in *operatorv1.ServiceSpec) *tamarackknot.ServiceSpec {
	return &tamarackknot.ServiceSpec{
		Deployment:        in.GetDeployment(),
		Prefix:            in.GetPrefix(),
		RepeatableMethods: in.GetRepeatableMethods(),
	}
}

func endpointFromWire(in *operatorv1.EndpointSpec) *tamarackknot.EndpointSpec {
	return &tamarackknot.EndpointSpec{
		Deployment:    in.GetDeployment(),
		Address:       in.GetAddress(),
		FailureDomain: in.GetFailureDomain(),
		MemoryMB:      in.GetMemoryMb(),
		Slots:         int(in.GetSlots()),
		Fencing:       in.GetFencing(),
		Service:       in.GetService(),
		Draining:      in.GetDraining(),
	}
}

// toWire converts a stored resource to one of the API, without its status.
func toWire(in *tamarackknot.Resource) *operatorv1.Resource {
	out := &operatorv1.Resource{
		Kind: string(in.Kind),
		Metadata: &operatorv1.Metadata{
			Name:       in.Metadata.Name,
			Generation: in.Metadata.Generation,
			Revision:   int64(in.Metadata.Revision),
		},
	}
	switch in.Kind {
	case tamarackknot.KindDeployment:
		out.Spec = &operatorv1.Resource_Deployment{Deployment: &operatorv1.DeploymentSpec{
			Priority:        int32(in.Deployment.Priority),
			ColdStartWeight: in.Deployment.ColdStartWeight,
			LoadsPerSecond:  in.Deployment.LoadsPerSecond,
			LoadsAtOnce:     int32(in.Deployment.LoadsAtOnce),
		}}
	case tamarackknot.KindModel:
		out.Spec = &operatorv1.Resource_Model{Model: &operatorv1.ModelSpec{
			Deployment:  in.Model.Deployment,
			Version:     in.Model.Version,
			MemoryMb:    in.Model.MemoryMB,
			MaxReplicas: int32(in.Model.MaxReplicas),
			Priority:    int32(in.Model.Priority),
		}}
	case tamarackknot.KindAdapter:
		out.Spec = &operatorv1.Resource_Adapter{Adapter: &operatorv1.AdapterSpec{
			Deployment:  in.Adapter.Deployment,
			Model:       in.Adapter.Model,
			Version:     in.Adapter.Version,
			MemoryMb:    in.Adapter.MemoryMB,
			MaxReplicas: int32(in.Adapter.MaxReplicas),
		}}
	case tamarackknot.KindService:
		out.Spec = &operatorv1.Resource_Service{Service: &operatorv1.ServiceSpec{
			Deployment:        in.Service.Deployment,
			Prefix:            in.Service.Prefix,
			RepeatableMethods: in.Service.RepeatableMethods,
		}}
	case tamarackknot.KindEndpoint:
		out.Spec = &operatorv1.Resource_Endpoint{Endpoint: &operatorv1.EndpointSpec{
			Deployment:    in.Endpoint.Deployment,
			Address:       in.Endpoint.Address,
			FailureDomain: in.Endpoint.FailureDomain,
			MemoryMb:      in.Endpoint.MemoryMB,
			Slots:         int32(in.Endpoint.Slots),
			Fencing:       in.Endpoint.Fencing,
			Service:       in.Endpoint.Service,
			Draining:      in.Endpoint.Draining,
		}}
	}
	return out
}
